// Package sidecar is the shell of the sidecar role: it runs attempts at the
// target, keeps their answers for the edges, and runs the other effects of the
// reducer in core/sidecar.
package sidecar
