// Package peer transports the messages of package core between processes, with
// connect-go over HTTP/2.
//
// A batch of messages is sent once, and at most once more over a new connection,
// so that messages may be lost, duplicated and reordered, as package core allows.
// A connection on which no response arrives in time is closed, because a device
// between the two ends may have lost its state for that connection, although new
// connections work.
package peer
