package config

// Node is the settings file of one process.
type Node struct {
	// VM is the id of the process's VM in the platform's VM list.
	VM string `yaml:"vm"`
	// Domain is the VM's failure domain.
	Domain string `yaml:"domain"`
	// Role is entry or sidecar.
	Role string `yaml:"role"`
	// Listen gives the process's own addresses.
	Listen Listen `yaml:"listen"`
	// Store is the platform's key-value service.
	Store Store `yaml:"store"`
	// VMList is where the platform's VM list is read: a file path or an URL.
	VMList VMList `yaml:"vm_list"`
	// TLS names the certificates of all listeners.
	TLS TLS `yaml:"tls"`
	// Data is the folder for bulk data; empty on VMs without a disk.
	Data string `yaml:"data"`
	// Log sets what is logged.
	Log Log `yaml:"log"`
	// Target describes the sidecar's target; for role sidecar.
	Target Target `yaml:"target"`
	// Limits bound what callers may send.
	Limits Limits `yaml:"limits"`
}

// Listen gives the addresses, IP and port, that the process listens on.
type Listen struct {
	// Callers is where an entry serves callers.
	Callers string `yaml:"callers"`
	// Peers is where other processes of the system connect.
	Peers string `yaml:"peers"`
	// Operators serves status, metrics, events, health and drain.
	Operators string `yaml:"operators"`
}

// Store is the platform's key-value service.
type Store struct {
	// Endpoints are tried in order.
	Endpoints []string `yaml:"endpoints"`
	// Prefix stands before every key of the deployment.
	Prefix string `yaml:"prefix"`
	// Timeout bounds one call.
	Timeout Duration `yaml:"timeout"`
}

// VMList is the source of the platform's VM list.
type VMList struct {
	// File is read anew at each period; it excludes URL.
	File string `yaml:"file"`
	// URL is read over HTTP at each period; it excludes File.
	URL string `yaml:"url"`
	// Period is the time between two readings.
	Period Duration `yaml:"period"`
}

// TLS names the certificate files; empty means plain text.
type TLS struct {
	// Cert and Key are read again when the files change.
	Cert string `yaml:"cert"`
	// Key belongs to Cert.
	Key string `yaml:"key"`
	// CA verifies the peers' certificates; set, it makes peers mutual.
	CA string `yaml:"ca"`
}

// Log sets the log's level: debug, info, warn or error.
type Log struct {
	// Level is the lowest level that is written.
	Level string `yaml:"level"`
}

// Target is what a sidecar stands beside.
type Target struct {
	// Pool is the pool of the applied set that the target belongs to.
	Pool string `yaml:"pool"`
	// Kind is the kind of the pool, which tells the protocol of the target.
	Kind PoolKind `yaml:"kind"`
	// Address is where the target serves, IP and port.
	Address string `yaml:"address"`
}

// Limits bounds what outside input may cost.
type Limits struct {
	// BodyBytes bounds the body of a request.
	BodyBytes int64 `yaml:"body_bytes"`
	// HeaderBytes bounds the headers of a request.
	HeaderBytes int `yaml:"header_bytes"`
	// ReadTimeout bounds the time in which a request is read.
	ReadTimeout Duration `yaml:"read_timeout"`
}
