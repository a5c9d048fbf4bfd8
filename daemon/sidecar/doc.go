// Package sidecar is the runtime of the sidecar role. It runs attempts at the target,
// stores their answers for the ingress entries, stores and replicates conversations,
// and runs the other effects of the reducer in core/sidecar.
package sidecar
