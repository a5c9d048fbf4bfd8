// Package wire converts the messages of package core to and from their form on
// the wire.
package wire
