// Package entry holds the reducer of the entry role. An entry accepts the
// requests of callers (it is their ingress), owns some slots and sequences the
// calls of the programs in them, holds replicas of slots that other entries own,
// and dispatches calls to the sidecars of targets.
//
// docs/design/0001-ownership.md specifies the ownership protocol and
// docs/design/0002-calls.md how a call is processed. Each file holds one
// concern.
package entry
