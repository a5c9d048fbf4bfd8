package engine

import (
	"fmt"

	"github.com/rhubarbsaddle/rhubarbsaddle/core"
)

// Headers of requests to targets.
const (
	// HeaderAttempt holds the ID of the attempt.
	HeaderAttempt = "X-Attempt-Id"
	// HeaderFence holds the fencing token, as formatted by FormatFence.
	HeaderFence = "X-Fence"
)

// FormatFence returns the value of HeaderFence, "slot/version.rank".
func FormatFence(slot core.SlotID, epoch core.Epoch) string {
	return fmt.Sprintf("%d/%s", slot, epoch)
}

// ParseFence parses the value of HeaderFence.
func ParseFence(s string) (slot core.SlotID, epoch core.Epoch, err error) {
	_, err = fmt.Sscanf(s, "%d/%d.%d", &slot, &epoch.Version, &epoch.Rank)
	return slot, epoch, err
}
