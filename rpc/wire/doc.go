// Package wire converts the messages of package core to and from their protobuf
// form. The message types on the wire keep earlier names for some concepts, such
// as Mirror for a replica, Home for an owner and Edge for an ingress entry.
package wire
