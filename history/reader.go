package history

// Reader reads bodies that another process keeps. It may be used concurrently.
type Reader struct{ codec *codec }

// NewReader returns a reader.
func NewReader() (*Reader, error) {
	c, err := newCodec()
	if err != nil {
		return nil, err
	}
	return &Reader{codec: c}, nil
}

// Messages returns the messages of a reference from an entry, as a JSON array.
// The digest chain decides: an entry of another program or state is refused.
func (r *Reader) Messages(e *Entry, ref Ref) ([]byte, error) {
	if e.Program != ref.Program || e.Account != ref.Account {
		return nil, &AccountError{Program: ref.Program}
	}
	messages, err := r.codec.decompress(e)
	if err != nil {
		return nil, err
	}
	return prefix(messages, ref.Digest, ref.Blocks)
}
