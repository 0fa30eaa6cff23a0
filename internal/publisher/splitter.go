package publisher

import (
	"crypto/sha256"
	"encoding/hex"

	"github.com/cespare/xxhash/v2"

	"github.com/anvildyke/anvildyke/internal/classifier"
	"github.com/anvildyke/anvildyke/internal/parser"
)

// Bounds of a split.
const (
	// MaxPartBytes is the greatest size of a part in bytes.
	MaxPartBytes = 512 << 10
	// MaxSetBytes is the greatest size of an encoded set in bytes. Every VM holds two sets in its cache.
	MaxSetBytes = 8 << 20
	// meanPart is the mean number of objects between two boundaries, and minPart the least number of objects of a part. A
	// change of one object rewrites its part and the head, and the head has one sum per part. TestBytesPerChange logs the
	// sum of both.
	meanPart = 40
	minPart  = 24
)

// Part is a piece of an encoded set.
type Part struct {
	// Sum is the hexadecimal SHA-256 sum of Value.
	Sum   string
	Value []byte
	// Set holds the objects of the part.
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

// EncodeParts sorts the set and cuts it into parts of at most MaxPart bytes. Boundaries depend on the keys of the objects next to
// them ("content-defined chunking", Muthitacharoen, Chen and Mazieres, "A low-bandwidth network file system", SOSP 2001), so
// that an added, changed or removed object leaves all but a few parts as they were. The error carries InvalidSet.
func EncodeParts(set parser.Set) ([]Part, error) {
	s := splitter{}
	for _, o := range parser.Sorted(set) {
		if err := s.add(o); err != nil {
			return nil, err
		}
	}
	s.cut()
	if len(s.parts) > MaxParts {
		return nil, classifier.Errorf(classifier.InvalidSet, "the set has more than %d parts", MaxParts)
	}
	return s.parts, nil
}

type splitter struct {
	parts []Part
	value []byte
	set   parser.Set
	total int
}

func (s *splitter) add(o parser.Object) error {
	text := parser.EncodeYAML(parser.Set{o})
	if len(text) > MaxPartBytes {
		return classifier.Errorf(classifier.InvalidSet, "%s takes %d bytes; at most %d are accepted", parser.Key(o), len(text), MaxPartBytes)
	}
	if s.total += len(text); s.total > MaxSetBytes {
		return classifier.Errorf(classifier.InvalidSet, "the set takes more than %d bytes", MaxSetBytes)
	}
	isBoundary := xxhash.Sum64String(parser.Key(o))%(meanPart-minPart) == 0 && len(s.set) >= minPart
	if isBoundary || len(s.value)+len(separator)+len(text) > MaxPartBytes {
		s.cut()
	}
	if len(s.set) > 0 {
		s.value = append(s.value, separator...)
	}
	s.value = append(s.value, text...)
	s.set = append(s.set, o)
	return nil
}

// separator stands between the YAML documents of a part.
const separator = "---\n"

func (s *splitter) cut() {
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
