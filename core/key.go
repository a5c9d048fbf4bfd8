package core

import "fmt"

// Keys of the key-value service, below the deployment's prefix.
const (
	// SlotPrefix begins the keys of the slot owners.
	SlotPrefix = "slots/"
	// ConfigHeadKey holds the head of the applied configuration.
	ConfigHeadKey = "config/head"
	// ConfigChunkPrefix begins the keys of the configuration's chunks.
	ConfigChunkPrefix = "config/chunk/"
	// EscrowPrefix begins the keys of the accounts' granted budgets.
	EscrowPrefix = "escrow/"
)

// SlotKey returns the key that holds the owner of a slot.
func SlotKey(s SlotID) string { return fmt.Sprintf("%s%05d", SlotPrefix, s) }

// EscrowKey returns the key that counts the tokens granted to slots from an
// account's budget.
func EscrowKey(a Account) string { return EscrowPrefix + string(a) }
