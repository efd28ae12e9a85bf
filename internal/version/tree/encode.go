package tree

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"sync"

	"github.com/juju/errors"
	"github.com/klauspost/compress/zstd"

	"cairnbay"
)

// maxDecodedBytes bounds the decompressed content of a version, in case the
// content is corrupt.
const maxDecodedBytes = 64 << 20

// encoder returns the shared compressor.
var encoder = sync.OnceValues(func() (*zstd.Encoder, error) {
	return zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1), zstd.WithLowerEncoderMem(true))
})

// Encode returns the tree as stored: JSON compressed with zstd. The same tree
// always gives the same bytes with one version of the zstd library.
func (t *Tree) Encode() ([]byte, error) {
	plain, err := json.Marshal(t)
	if err != nil {
		return nil, errors.Annotate(err, "encode settings")
	}
	compressor, err := encoder()
	if err != nil {
		return nil, errors.Annotate(err, "encode settings")
	}
	return compressor.EncodeAll(plain, nil), nil
}

// Decode returns the tree of a version's content and validates it. Errors:
// ErrInvalid.
func Decode(content []byte) (*Tree, error) {
	plain, err := decompress(content)
	if err != nil {
		return nil, errors.Annotatef(cairnbay.ErrInvalid, "settings content: %v", err)
	}
	decoder := json.NewDecoder(bytes.NewReader(plain))
	decoder.DisallowUnknownFields()
	var decoded Tree
	if err := decoder.Decode(&decoded); err != nil {
		return nil, errors.Annotatef(cairnbay.ErrInvalid, "settings content: %v", err)
	}
	built, err := New(decoded.Branches, decoded.Operators)
	if err != nil {
		return nil, err
	}
	return built.WithDrains(decoded.Drains)
}

func decompress(content []byte) ([]byte, error) {
	decompressor, err := zstd.NewReader(nil, zstd.WithDecoderConcurrency(1),
		zstd.WithDecoderMaxMemory(maxDecodedBytes), zstd.WithDecoderLowmem(true))
	if err != nil {
		return nil, err
	}
	defer decompressor.Close()
	return decompressor.DecodeAll(content, nil)
}

// Digest returns the hex SHA-256 of a version's encoded content.
func Digest(content []byte) string {
	sum := sha256.Sum256(content)
	return hex.EncodeToString(sum[:])
}
