package history

// Reader decompresses and verifies conversations that another process has stored.
// It is safe for concurrent use.
type Reader struct{ codec *codec }

// NewReader returns a reader.
func NewReader() (*Reader, error) {
	c, err := newCodec()
	if err != nil {
		return nil, err
	}
	return &Reader{codec: c}, nil
}

// Messages returns the messages of e that ref identifies, as a JSON array. It
// returns an *AccountError if e belongs to another program or account, and a
// *CorruptError if its digest chain does not match.
func (r *Reader) Messages(e *StoredConversation, ref Ref) ([]byte, error) {
	if e.Program != ref.Program || e.Account != ref.Account {
		return nil, &AccountError{Program: ref.Program}
	}
	messages, err := r.codec.decompress(e)
	if err != nil {
		return nil, err
	}
	return verifiedPrefix(messages, ref.Digest, ref.Blocks)
}
