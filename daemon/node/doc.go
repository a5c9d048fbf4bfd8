// Package node is the part of the shells that entries and sidecars share: the
// listening socket that makes a life, the peers, the key-value service, the VM
// list, the configuration, the reducer's loop and the operators' port.
package node
