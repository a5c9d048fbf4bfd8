package history

import (
	"bytes"
	"encoding/binary"
	"encoding/json"
	"errors"

	"github.com/cespare/xxhash/v2"
	"github.com/klauspost/compress/zstd"
)

const (
	// maxConversationBytes bounds a conversation after decompression.
	maxConversationBytes = 64 << 20
	// maxMetaBytes bounds the encoded Meta of a conversation.
	maxMetaBytes = 16 << 10
	// windowBytes is the compressor's window size.
	windowBytes = 1 << 20
	// magic begins every encoded conversation; its last byte is the format version.
	magic = "rshist\x00\x01"
	// headerBytes is the size of magic, the checksum and the length of the Meta.
	headerBytes = len(magic) + 8 + 4
)

// codec compresses and decompresses conversations; it is safe for concurrent
// use.
type codec struct {
	encoder *zstd.Encoder
	decoder *zstd.Decoder
}

func newCodec() (*codec, error) {
	encoder, err := zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1),
		zstd.WithEncoderLevel(zstd.SpeedFastest), zstd.WithWindowSize(windowBytes), zstd.WithLowerEncoderMem(true))
	if err != nil {
		return nil, err
	}
	decoder, err := zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(maxConversationBytes))
	if err != nil {
		return nil, err
	}
	return &codec{encoder: encoder, decoder: decoder}, nil
}

// compress returns a stored conversation with the compressed messages.
func (c *codec) compress(m Meta, messages []byte) *StoredConversation {
	m.Size = len(messages)
	// Cloning releases the excess capacity that the encoder has allocated.
	return &StoredConversation{Meta: m, Data: bytes.Clone(c.encoder.EncodeAll(messages, nil))}
}

// errLengthMismatch is the cause when the decompressed length differs from Meta.Size.
var errLengthMismatch = errors.New("the length does not match")

// decompress returns the messages of a stored conversation as a JSON array.
func (c *codec) decompress(e *StoredConversation) ([]byte, error) {
	messages, err := c.decoder.DecodeAll(e.Data, nil)
	if err != nil {
		return nil, &CorruptError{Step: "decompress", Err: err}
	}
	if len(messages) != e.Size {
		return nil, &CorruptError{Step: "decompress", Err: errLengthMismatch}
	}
	return messages, nil
}

// Encode returns the conversation in the form used on disk and between peers:
// magic, checksum, length of the Meta, Meta as JSON, Data. Integers are
// little-endian; the checksum covers everything after it.
func (e *StoredConversation) Encode() ([]byte, error) {
	meta, err := json.Marshal(&e.Meta)
	if err != nil {
		return nil, &CorruptError{Step: "encode", Err: err}
	}
	out := make([]byte, 0, headerBytes+len(meta)+len(e.Data))
	out = append(out, magic...)
	out = binary.LittleEndian.AppendUint64(out, 0)
	out = binary.LittleEndian.AppendUint32(out, uint32(len(meta)))
	out = append(out, meta...)
	out = append(out, e.Data...)
	binary.LittleEndian.PutUint64(out[len(magic):], xxhash.Sum64(out[len(magic)+8:]))
	return out, nil
}

var (
	errMagic    = errors.New("is no history body")
	errChecksum = errors.New("the checksum differs")
	errMeta     = errors.New("the meta is cut or too long")
)

// Decode parses an encoded conversation and verifies its checksum. Errors are of
// type *CorruptError. The result shares memory with b.
func Decode(b []byte) (*StoredConversation, error) {
	if len(b) < headerBytes || string(b[:len(magic)]) != magic {
		return nil, &CorruptError{Step: "decode", Err: errMagic}
	}
	if binary.LittleEndian.Uint64(b[len(magic):]) != xxhash.Sum64(b[len(magic)+8:]) {
		return nil, &CorruptError{Step: "decode", Err: errChecksum}
	}
	n := binary.LittleEndian.Uint32(b[len(magic)+8:])
	rest := b[headerBytes:]
	if n > maxMetaBytes || int(n) > len(rest) {
		return nil, &CorruptError{Step: "decode", Err: errMeta}
	}
	e := &StoredConversation{Data: rest[n:]}
	if err := json.Unmarshal(rest[:n], &e.Meta); err != nil {
		return nil, &CorruptError{Step: "decode", Err: err}
	}
	return e, nil
}
