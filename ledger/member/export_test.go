package member

// ReadIncarnation returns the incarnation of the disk in dir.
func ReadIncarnation(dir string) (uint64, error) {
	id, err := readIdentity(dir)
	return id.Incarnation, err
}

// MarkIncomplete marks the disk in dir as a member does that stops.
func MarkIncomplete(dir string) error {
	id, err := readIdentity(dir)
	if err != nil {
		return err
	}
	id.Complete = false
	return writeIdentity(dir, id)
}
