// Package node is the part of the runtime that entries and sidecars share: the
// listening socket, which at most one incarnation of a VM's process holds, the
// peers, the key-value service, the VM list, the configuration, the reducer's loop
// and the operators' port.
package node
