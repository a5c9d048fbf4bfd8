package config

// Node is the settings file of one process.
type Node struct {
	// VM is the id of the process's VM in the platform's VM list.
	VM     string `yaml:"vm"`
	Domain string `yaml:"domain"`
	// Role is entry or sidecar.
	Role   string `yaml:"role"`
	Listen Listen `yaml:"listen"`
	Store  Store  `yaml:"store"`
	// VMList is where the platform's VM list is read: a file path or an URL.
	VMList VMList `yaml:"vm_list"`
	TLS    TLS    `yaml:"tls"`
	// Data is the folder for bulk data; empty on VMs without a disk.
	Data string `yaml:"data"`
	Log  Log    `yaml:"log"`
	// Target describes the sidecar's target; for role sidecar.
	Target Target `yaml:"target"`
	Limits Limits `yaml:"limits"`
}

// Listen gives the addresses, IP and port, that the process listens on.
type Listen struct {
	Callers   string `yaml:"callers"`
	Peers     string `yaml:"peers"`
	Operators string `yaml:"operators"`
}

// Store is the platform's key-value service.
type Store struct {
	Endpoints []string `yaml:"endpoints"`
	// Prefix stands before every key of the deployment.
	Prefix  string   `yaml:"prefix"`
	Timeout Duration `yaml:"timeout"`
}

// VMList is the source of the platform's VM list.
type VMList struct {
	File   string   `yaml:"file"`
	URL    string   `yaml:"url"`
	Period Duration `yaml:"period"`
}

// TLS names the certificate files; empty means plain text.
type TLS struct {
	Cert string `yaml:"cert"`
	Key  string `yaml:"key"`
	// CA verifies the peers' certificates; set, it makes peers mutual.
	CA string `yaml:"ca"`
}

// Log sets the log's level: debug, info, warn or error.
type Log struct {
	Level string `yaml:"level"`
}

// Target is what a sidecar stands beside.
type Target struct {
	Pool string `yaml:"pool"`
	// Kind is the kind of the pool, which tells the protocol of the target.
	Kind    PoolKind `yaml:"kind"`
	Address string   `yaml:"address"`
}

// Limits bounds what outside input may cost.
type Limits struct {
	BodyBytes   int64    `yaml:"body_bytes"`
	HeaderBytes int      `yaml:"header_bytes"`
	ReadTimeout Duration `yaml:"read_timeout"`
}
