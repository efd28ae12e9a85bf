package audit

import (
	"bytes"
	"cmp"
	"crypto/ed25519"
	"crypto/sha256"
	"sync"

	"github.com/juju/errors"
	"github.com/klauspost/compress/zstd"
	"google.golang.org/protobuf/proto"

	"cairnbay"
	cairnbayv1 "cairnbay/gen/cairnbay/v1"
)

// maxBodyBytes bounds a decompressed record.
const maxBodyBytes = 32 << 20

// sealer numbers, links, compresses, digests and signs the records of one life.
type sealer struct {
	key      ed25519.PrivateKey
	sequence uint64
	previous []byte
}

func newSealer(key ed25519.PrivateKey) *sealer {
	return &sealer{key: key}
}

// link gives a record its place behind the one sealed before.
func (s *sealer) link(record *cairnbayv1.AuditRecord) {
	s.sequence++
	record.FirstSequence = s.sequence
	record.LastSequence = s.sequence
	record.Previous = s.previous
}

func (s *sealer) seal(record *cairnbayv1.AuditRecord) (*cairnbayv1.SealedAudit, error) {
	sealed, err := Seal(record, s.key)
	if err != nil {
		return nil, err
	}
	s.previous = sealed.Digest
	return sealed, nil
}

// Seal compresses a record, takes its digest and signs it if there is a key.
func Seal(record *cairnbayv1.AuditRecord, key ed25519.PrivateKey) (*cairnbayv1.SealedAudit, error) {
	plain, err := proto.Marshal(record)
	if err != nil {
		return nil, errors.Annotatef(err, "audit record %d of %q", record.FirstSequence, record.Instance)
	}
	body, err := compress(plain)
	if err != nil {
		return nil, err
	}
	digest := sha256.Sum256(body)
	sealed := &cairnbayv1.SealedAudit{Body: body, Digest: digest[:]}
	if key != nil {
		sealed.Signature = ed25519.Sign(key, digest[:])
		sealed.PublicKey = key.Public().(ed25519.PublicKey)
	}
	return sealed, nil
}

// Open returns the record after its digest and signature were checked. Errors:
// ErrInvalid.
func Open(sealed *cairnbayv1.SealedAudit) (*cairnbayv1.AuditRecord, error) {
	digest := sha256.Sum256(sealed.Body)
	if !bytes.Equal(digest[:], sealed.Digest) {
		return nil, errors.Annotate(cairnbay.ErrInvalid, "digest does not match the record")
	}
	if err := checkSignature(sealed); err != nil {
		return nil, err
	}
	return unpack(sealed.Body)
}

func checkSignature(sealed *cairnbayv1.SealedAudit) error {
	if len(sealed.Signature) == 0 {
		return nil
	}
	if len(sealed.PublicKey) != ed25519.PublicKeySize {
		return errors.Annotatef(cairnbay.ErrInvalid, "public key of %d bytes", len(sealed.PublicKey))
	}
	if !ed25519.Verify(sealed.PublicKey, sealed.Digest, sealed.Signature) {
		return errors.Annotate(cairnbay.ErrInvalid, "signature does not match the record")
	}
	return nil
}

// unpack reads a record without any check of its digest.
func unpack(body []byte) (*cairnbayv1.AuditRecord, error) {
	plain, err := decompress(body)
	if err != nil {
		return nil, err
	}
	record := &cairnbayv1.AuditRecord{}
	if err := proto.Unmarshal(plain, record); err != nil {
		return nil, errors.Annotatef(cairnbay.ErrInvalid, "audit record: %v", err)
	}
	return record, nil
}

// encoder and decoder are shared, since making one takes far longer than using
// it on a record; both allow concurrent calls.
var (
	encoder = sync.OnceValues(func() (*zstd.Encoder, error) {
		return zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1), zstd.WithLowerEncoderMem(true))
	})
	decoder = sync.OnceValues(func() (*zstd.Decoder, error) {
		return zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(maxBodyBytes))
	})
)

func compress(plain []byte) ([]byte, error) {
	shared, err := encoder()
	if err != nil {
		return nil, errors.Trace(err)
	}
	return shared.EncodeAll(plain, nil), nil
}

func decompress(body []byte) ([]byte, error) {
	shared, err := decoder()
	if err != nil {
		return nil, errors.Trace(err)
	}
	plain, err := shared.DecodeAll(body, nil)
	if err != nil {
		return nil, errors.Annotatef(cairnbay.ErrInvalid, "audit record cannot be decompressed: %v", err)
	}
	return plain, nil
}

// EncodeChunk packs sealed records into one value.
func EncodeChunk(records []*cairnbayv1.SealedAudit) ([]byte, error) {
	value, err := proto.Marshal(&cairnbayv1.AuditChunk{Records: records})
	return value, errors.Trace(err)
}

// DecodeChunk unpacks a value. Errors: ErrInvalid.
func DecodeChunk(value []byte) ([]*cairnbayv1.SealedAudit, error) {
	chunk := &cairnbayv1.AuditChunk{}
	if err := proto.Unmarshal(value, chunk); err != nil {
		return nil, errors.Annotatef(cairnbay.ErrInvalid, "audit chunk: %v", err)
	}
	return chunk.Records, nil
}

func compareText(a, b string) int {
	return cmp.Compare(a, b)
}
