// Package slopes measures how the costs of a process grow with its load: memory
// with programs and targets, processor time and bytes with calls, peers and
// targets. Each slope is fitted over at least three sizes, so that growth faster
// than linear shows. Package capacity computes the costs of a large deployment
// from these slopes.
package slopes
