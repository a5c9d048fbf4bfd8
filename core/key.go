package core

import "fmt"

// Keys in the key-value service, relative to the deployment's prefix.
const (
	// SlotPrefix is the prefix of the keys of the slot assignments.
	SlotPrefix = "slots/"
	// ConfigHeadKey is the key of the head record of the applied configuration.
	ConfigHeadKey = "config/head"
	// ConfigChunkPrefix is the prefix of the keys of the configuration's chunks.
	ConfigChunkPrefix = "config/chunk/"
	// EscrowPrefix is the prefix of the keys that count the accounts' granted budgets.
	EscrowPrefix = "escrow/"
)

// SlotKey returns the key of the SlotAssignment of a slot.
func SlotKey(s SlotID) string { return fmt.Sprintf("%s%05d", SlotPrefix, s) }

// EscrowKey returns the key that counts the tokens granted to slots from an
// account's budget.
func EscrowKey(a Account) string { return EscrowPrefix + string(a) }
