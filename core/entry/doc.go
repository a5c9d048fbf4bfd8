// Package entry holds the reducer of the entry role. An entry receives the
// requests of callers, is the home of the programs of some slots, keeps mirrors
// of other entries' slots, and dispatches calls to the sidecars of targets.
//
// docs/design/0001-ownership.md specifies the ownership protocol and
// docs/design/0002-calls.md the life of a call. Each file holds one concern.
package entry
