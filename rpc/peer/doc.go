// Package peer carries the messages of package core between processes, over
// connect-go on HTTP/2.
//
// Delivery is at most once for each try, with at most one repeat over a fresh
// connection: messages may be lost, duplicated and reordered, as package core
// allows. A connection that gives no answer in time is closed, because
// something between the two ends may have lost track of it while new
// connections work.
package peer
