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
	// maxBodyBytes bounds a body after decompression.
	maxBodyBytes = 64 << 20
	// maxMetaBytes bounds the description in front of a body.
	maxMetaBytes = 16 << 10
	// windowBytes is how far back the compressor looks for repetitions.
	windowBytes = 1 << 20
	// magic begins every encoded entry; its last byte is the format's version.
	magic = "rshist\x00\x01"
	// headBytes is the length of magic, checksum and the length of the meta.
	headBytes = len(magic) + 8 + 4
)

// codec compresses and decompresses bodies; it may be used concurrently.
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
	decoder, err := zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(maxBodyBytes))
	if err != nil {
		return nil, err
	}
	return &codec{encoder: encoder, decoder: decoder}, nil
}

// compress returns a body as an entry.
func (c *codec) compress(m Meta, messages []byte) *Entry {
	m.Size = len(messages)
	// The copy frees what the encoder has allocated beyond the result.
	return &Entry{Meta: m, Data: bytes.Clone(c.encoder.EncodeAll(messages, nil))}
}

// errSize is the cause when a body has another length than its meta says.
var errSize = errors.New("the length differs")

// decompress returns the messages of an entry.
func (c *codec) decompress(e *Entry) ([]byte, error) {
	messages, err := c.decoder.DecodeAll(e.Data, nil)
	if err != nil {
		return nil, &CorruptError{Step: "decompress", Err: err}
	}
	if len(messages) != e.Size {
		return nil, &CorruptError{Step: "decompress", Err: errSize}
	}
	return messages, nil
}

// Encode returns an entry as the spool and the peers hold it: magic, checksum,
// length of the meta, meta, data. The checksum covers all that follows it.
func (e *Entry) Encode() ([]byte, error) {
	meta, err := json.Marshal(&e.Meta)
	if err != nil {
		return nil, &CorruptError{Step: "encode", Err: err}
	}
	out := make([]byte, 0, headBytes+len(meta)+len(e.Data))
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

// Decode reads an encoded entry. The entry shares the memory of b.
func Decode(b []byte) (*Entry, error) {
	if len(b) < headBytes || string(b[:len(magic)]) != magic {
		return nil, &CorruptError{Step: "decode", Err: errMagic}
	}
	if binary.LittleEndian.Uint64(b[len(magic):]) != xxhash.Sum64(b[len(magic)+8:]) {
		return nil, &CorruptError{Step: "decode", Err: errChecksum}
	}
	n := binary.LittleEndian.Uint32(b[len(magic)+8:])
	rest := b[headBytes:]
	if n > maxMetaBytes || int(n) > len(rest) {
		return nil, &CorruptError{Step: "decode", Err: errMeta}
	}
	e := &Entry{Data: rest[n:]}
	if err := json.Unmarshal(rest[:n], &e.Meta); err != nil {
		return nil, &CorruptError{Step: "decode", Err: err}
	}
	return e, nil
}
