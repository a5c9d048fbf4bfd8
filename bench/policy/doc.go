// Package policy measures the policies under load: the sidecars' reducers and
// the policies run against the model of an engine in virtual time, with
// open-loop arrivals of programs of seeded, heavy-tailed shapes.
package policy
