package publisher

import (
	"crypto/sha256"
	"encoding/hex"

	"github.com/cespare/xxhash/v2"

	"github.com/anvildyke/anvildyke/internal/classifier"
	"github.com/anvildyke/anvildyke/internal/parser"
)

// Limits and sizes of parts.
const (
	// MaxPartBytes is the maximum length of Part.Value.
	MaxPartBytes = 512 << 10
	// MaxSetBytes is the maximum size of an encoded set. It is limited because every VM keeps two sets in its cache.
	MaxSetBytes = 8 << 20
	// meanPartObjects is the mean and minPartObjects the minimum number of objects between two content-defined boundaries. A
	// change of one object writes its part and the head again. Larger parts make the first write larger and the second one
	// smaller, because the head contains one checksum per part. TestBytesPerChange logs the total size of both writes.
	meanPartObjects = 40
	minPartObjects  = 24
)

// Part is a contiguous section of an encoded set.
type Part struct {
	// Sum is the hexadecimal SHA-256 sum of Value.
	Sum string
	// Value is a sequence of YAML documents, at most MaxPartBytes long.
	Value []byte
	// Set contains the objects that Value encodes.
	Set parser.Set
}

// Sum returns the hexadecimal SHA-256 sum of a part's value.
func Sum(value []byte) string {
	sum := sha256.Sum256(value)
	return hex.EncodeToString(sum[:])
}

func sums(parts []Part) []string {
	list := make([]string, 0, len(parts))
	for _, p := range parts {
		list = append(list, p.Sum)
	}
	return list
}

// EncodeParts sorts the set and splits it into parts of at most MaxPartBytes. Boundaries depend on the keys of the adjacent
// objects (content-defined chunking: Muthitacharoen, Chen and Mazieres, "A low-bandwidth network file system", SOSP 2001), so
// that adding, changing or removing an object changes only a few parts. The error carries InvalidSet when the set, one of its
// objects or the number of parts exceeds its limit.
func EncodeParts(set parser.Set) ([]Part, error) {
	s := splitter{}
	for _, o := range parser.Sorted(set) {
		if err := s.add(o); err != nil {
			return nil, err
		}
	}
	s.finishPart()
	if len(s.parts) > MaxParts {
		return nil, classifier.Errorf(classifier.InvalidSet, "the encoded set has more than %d parts", MaxParts)
	}
	return s.parts, nil
}

// splitter appends objects to the current part. It starts a new part at each content-defined boundary, and where the next object
// would make the part longer than MaxPartBytes.
type splitter struct {
	// parts contains the parts before the current one.
	parts []Part
	// value and set are the encoded and the decoded objects of the current part.
	value []byte
	set   parser.Set
	// totalBytes is the encoded size of all objects added, without separators.
	totalBytes int
}

func (s *splitter) add(o parser.Object) error {
	text := parser.EncodeYAML(parser.Set{o})
	if len(text) > MaxPartBytes {
		return classifier.Errorf(classifier.InvalidSet, "%s is %d bytes long when encoded; at most %d bytes are accepted", parser.Key(o), len(text), MaxPartBytes)
	}
	if s.totalBytes += len(text); s.totalBytes > MaxSetBytes {
		return classifier.Errorf(classifier.InvalidSet, "the encoded set is longer than %d bytes", MaxSetBytes)
	}
	isBoundary := xxhash.Sum64String(parser.Key(o))%(meanPartObjects-minPartObjects) == 0 && len(s.set) >= minPartObjects
	if isBoundary || len(s.value)+len(documentSeparator)+len(text) > MaxPartBytes {
		s.finishPart()
	}
	if len(s.set) > 0 {
		s.value = append(s.value, documentSeparator...)
	}
	s.value = append(s.value, text...)
	s.set = append(s.set, o)
	return nil
}

// documentSeparator separates the YAML documents of a part.
const documentSeparator = "---\n"

func (s *splitter) finishPart() {
	if len(s.set) == 0 {
		return
	}
	s.parts = append(s.parts, Part{
		Sum:   Sum(s.value),
		Value: s.value,
		Set:   s.set,
	})
	s.value, s.set = nil, nil
}
