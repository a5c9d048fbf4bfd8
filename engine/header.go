package engine

import (
	"fmt"

	"github.com/rhubarbsaddle/rhubarbsaddle/core"
)

// Headers of requests to targets.
const (
	// HeaderAttempt names the attempt.
	HeaderAttempt = "X-Attempt-Id"
	// HeaderFence holds the slot and the epoch as FormatFence writes them.
	HeaderFence = "X-Fence"
)

// FormatFence returns the value of HeaderFence.
func FormatFence(slot core.SlotID, epoch core.Epoch) string {
	return fmt.Sprintf("%d/%s", slot, epoch)
}

// ParseFence reads the value of HeaderFence.
func ParseFence(s string) (slot core.SlotID, epoch core.Epoch, err error) {
	_, err = fmt.Sscanf(s, "%d/%d.%d", &slot, &epoch.Version, &epoch.Rank)
	return slot, epoch, err
}
