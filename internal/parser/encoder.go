package parser

import (
	"bytes"
	"cmp"
	"fmt"
	"net/netip"
	"reflect"
	"regexp"
	"slices"
	"strconv"
	"time"
)

// plainScalarPattern matches the strings that are written without quotes. It is narrower than the plain scalars of YAML
// and requires a letter at the beginning, so that text that looks like a number or a time is quoted. Words such as "true", "null"
// or "no" are excluded by reservedWordPattern.
var plainScalarPattern = regexp.MustCompile(`^[A-Za-z][A-Za-z0-9]*([./-][A-Za-z0-9]+)*$`)

var reservedWordPattern = regexp.MustCompile(`^(?i:true|false|null|yes|no|on|off|y|n|nan|inf)$`)

// EncodeYAML returns the canonical form of the set: one YAML document per object, with the fields in the order of the Go types.
// Fields with zero values are omitted, except those for which isAlwaysEncoded is true. Decode turns the result into an equal set.
func EncodeYAML(set Set) []byte {
	var b bytes.Buffer
	for i, o := range set {
		if i > 0 {
			b.WriteString("---\n")
		}
		encodeObject(&b, o)
	}
	return b.Bytes()
}

// Key returns the identifier "Kind/Name" of an object, which is unique within a valid set.
func Key(o Object) string {
	return o.ObjectKind() + "/" + o.ObjectName()
}

// Equal reports whether two objects have the same canonical form.
func Equal(a, b Object) bool {
	return bytes.Equal(EncodeYAML(Set{a}), EncodeYAML(Set{b}))
}

// Sorted returns a copy of the set, ordered by kind in the order of Kinds and then by name.
func Sorted(set Set) Set {
	rank := map[string]int{}
	for i, k := range Kinds() {
		rank[k] = i
	}
	sorted := slices.Clone(set)
	slices.SortStableFunc(sorted, func(a, b Object) int {
		if c := cmp.Compare(rank[a.ObjectKind()], rank[b.ObjectKind()]); c != 0 {
			return c
		}
		return cmp.Compare(a.ObjectName(), b.ObjectName())
	})
	return sorted
}

func encodeObject(b *bytes.Buffer, o Object) {
	fmt.Fprintf(b, "Kind: %s\n", o.ObjectKind())
	encodeFields(b, reflect.ValueOf(o), "", "")
}

// encodeFields writes one line per field of a struct. The first line starts with firstIndent, which contains the "- " of a list
// item, and the other lines with indent.
func encodeFields(b *bytes.Buffer, v reflect.Value, firstIndent, indent string) {
	for i := range v.NumField() {
		f := v.Field(i)
		if f.IsZero() && !isAlwaysEncoded(v.Type(), i) {
			continue
		}
		b.WriteString(firstIndent)
		firstIndent = indent
		b.WriteString(v.Type().Field(i).Name)
		b.WriteByte(':')
		encodeValue(b, f, indent)
	}
}

// isAlwaysEncoded reports whether field i of the struct type t is written even if its value is zero. This holds for the first
// field, so that no object or list item is empty, and for the numbers for which 0 is an ordinary value.
func isAlwaysEncoded(t reflect.Type, i int) bool {
	return i == 0 || t.Field(i).Name == "Shard" || t.Field(i).Name == "Percent"
}

func encodeValue(b *bytes.Buffer, v reflect.Value, indent string) {
	switch x := v.Interface().(type) {
	case time.Duration:
		fmt.Fprintf(b, " %s\n", x)
		return
	case time.Time:
		fmt.Fprintf(b, " %s\n", strconv.Quote(x.UTC().Format(time.RFC3339Nano)))
		return
	case netip.AddrPort:
		fmt.Fprintf(b, " %s\n", strconv.Quote(x.String()))
		return
	}
	switch v.Kind() {
	case reflect.String:
		fmt.Fprintf(b, " %s\n", encodeString(v.String()))
	case reflect.Int:
		fmt.Fprintf(b, " %d\n", v.Int())
	case reflect.Slice:
		encodeList(b, v, indent)
	}
}

func encodeList(b *bytes.Buffer, v reflect.Value, indent string) {
	if v.Len() == 0 {
		b.WriteString(" []\n")
		return
	}
	b.WriteByte('\n')
	for i := range v.Len() {
		item := v.Index(i)
		if item.Kind() == reflect.Struct {
			encodeFields(b, item, indent+"- ", indent+"  ")
			continue
		}
		b.WriteString(indent + "-")
		encodeValue(b, item, indent+"  ")
	}
}

func encodeString(s string) string {
	if plainScalarPattern.MatchString(s) && !reservedWordPattern.MatchString(s) {
		return s
	}
	return strconv.Quote(s)
}
