// Package policy benchmarks the scheduling policies under load. The reducers run
// in virtual time against the stand-in's engine model. Programs arrive in an open
// loop; their shapes are drawn from heavy-tailed distributions with a fixed seed.
package policy
