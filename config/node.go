package config

// Node holds the settings of one process.
type Node struct {
	// VM is the id of the process's VM in the platform's VM list.
	VM string `yaml:"vm"`
	// Domain is the VM's failure domain.
	Domain string `yaml:"domain"`
	// Role is the role of the process: entry or sidecar.
	Role string `yaml:"role"`
	// Listen gives the process's own addresses.
	Listen Listen `yaml:"listen"`
	// Store is the platform's key-value service.
	Store Store `yaml:"store"`
	// VMList is the source of the platform's VM list: a file or a URL.
	VMList VMList `yaml:"vm_list"`
	// TLS names the certificate files of all listeners.
	TLS TLS `yaml:"tls"`
	// Data is the directory for bulk data; empty on VMs without a disk.
	Data string `yaml:"data"`
	// Log sets the log's level.
	Log Log `yaml:"log"`
	// Target describes the target of a sidecar; it is used only for role sidecar.
	Target Target `yaml:"target"`
	// Limits bound what callers may send.
	Limits Limits `yaml:"limits"`
}

// Listen gives the addresses, IP and port, that the process listens on.
type Listen struct {
	// Callers is the address at which an entry serves callers.
	Callers string `yaml:"callers"`
	// Peers is the address to which other processes of the system connect.
	Peers string `yaml:"peers"`
	// Operators is the address that serves status, metrics, events, health and drain.
	Operators string `yaml:"operators"`
}

// Store is the platform's key-value service.
type Store struct {
	// Endpoints are tried in order.
	Endpoints []string `yaml:"endpoints"`
	// Prefix is the prefix of every key of the deployment.
	Prefix string `yaml:"prefix"`
	// Timeout bounds one request.
	Timeout Duration `yaml:"timeout"`
}

// VMList is the source of the platform's VM list.
type VMList struct {
	// File is read again in each period; it excludes URL.
	File string `yaml:"file"`
	// URL is fetched over HTTP in each period; it excludes File.
	URL string `yaml:"url"`
	// Period is the time between two fetches.
	Period Duration `yaml:"period"`
}

// TLS names the certificate files; if empty, connections are plain text.
type TLS struct {
	// Cert is the certificate file. Cert and Key are read again when the files change.
	Cert string `yaml:"cert"`
	// Key is the file of Cert's private key.
	Key string `yaml:"key"`
	// CA verifies the peers' certificates; if set, peers authenticate each other.
	CA string `yaml:"ca"`
}

// Log sets the log's level: debug, info, warn or error.
type Log struct {
	// Level is the lowest level that is written.
	Level string `yaml:"level"`
}

// Target describes the target of a sidecar.
type Target struct {
	// Pool is the pool of the applied set that the target belongs to.
	Pool string `yaml:"pool"`
	// Kind is the kind of the pool, which determines the protocol of the target.
	Kind PoolKind `yaml:"kind"`
	// Address is the IP address and port at which the target serves.
	Address string `yaml:"address"`
}

// Limits bounds the size and the reading time of external input.
type Limits struct {
	// BodyBytes bounds the body of a request.
	BodyBytes int64 `yaml:"body_bytes"`
	// HeaderBytes bounds the headers of a request.
	HeaderBytes int `yaml:"header_bytes"`
	// ReadTimeout bounds the time in which a request is read.
	ReadTimeout Duration `yaml:"read_timeout"`
}
