// Package slopes measures how the costs of a process grow with what it holds
// and carries: memory with programs and targets, processor time and bytes with
// calls, peers and targets. Each slope is fitted over at least three sizes, so
// that what grows faster than linearly shows. Package capacity works out the
// costs of a large deployment from these slopes.
package slopes
