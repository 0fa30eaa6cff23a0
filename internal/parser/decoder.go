package parser

import (
	"errors"
	"fmt"
	"net/netip"
	"reflect"
	"slices"
	"strings"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	yamlparser "github.com/goccy/go-yaml/parser"
)

// Fault is one reason why a file is not a set.
type Fault struct {
	File string
	// Line counts from 1; it is 0 when the fault has no place in the file.
	Line int
	// Field is the path of the field inside its object, for example "Shares[1].Percent", or empty.
	Field   string
	Message string
}

// String returns the fault as "file:line: field: message".
func (f Fault) String() string {
	if f.Field == "" {
		return fmt.Sprintf("%s:%d: %s", f.File, f.Line, f.Message)
	}
	return fmt.Sprintf("%s:%d: %s: %s", f.File, f.Line, f.Field, f.Message)
}

// DecodeError lists every fault of a file.
type DecodeError struct {
	Faults []Fault
}

// Error returns the faults, each on a line of its own.
func (e *DecodeError) Error() string {
	lines := make([]string, 0, len(e.Faults))
	for _, f := range e.Faults {
		lines = append(lines, f.String())
	}
	return strings.Join(lines, "\n")
}

// prototypes lists the kinds in canonical order.
var prototypes = []Object{
	AvailabilityZone{},
	Policy{},
	Application{},
	Service{},
	Version{},
	BackendServer{},
	Split{},
	Move{},
}

// Kinds returns the names of all kinds in canonical order.
func Kinds() []string {
	kinds := make([]string, 0, len(prototypes))
	for _, p := range prototypes {
		kinds = append(kinds, p.ObjectKind())
	}
	return kinds
}

// choices lists the accepted values of the types that have few.
var choices = map[reflect.Type][]string{
	reflect.TypeFor[ZoneState](): {string(ZoneInService), string(ZoneOutOfService)},
	reflect.TypeFor[RouteKind](): {string(RouteSearch), string(RouteOperation)},
}

var (
	durationType = reflect.TypeFor[time.Duration]()
	timeType     = reflect.TypeFor[time.Time]()
	addressType  = reflect.TypeFor[netip.AddrPort]()
)

// Decode reads a set from YAML, which may have several documents, or from JSON. A document is one object or a list of
// objects. The file is named in faults. The error is a *DecodeError that lists every fault; nothing is decoded in that case.
func Decode(file string, data []byte) (set Set, err error) {
	d := &decoder{
		file: file,
	}
	// The YAML library may panic on broken input, and that input comes from outside.
	defer func() {
		if r := recover(); r != nil {
			d.fault(nil, "", "the file cannot be parsed")
			set, err = nil, &DecodeError{
				Faults: d.faults,
			}
		}
	}()
	d.decode(data)
	if len(d.faults) > 0 {
		return nil, &DecodeError{
			Faults: d.faults,
		}
	}
	return d.set, nil
}

type decoder struct {
	file   string
	set    Set
	faults []Fault
}

func (d *decoder) fault(n ast.Node, field, format string, args ...any) {
	line := 0
	if n != nil && n.GetToken() != nil {
		line = n.GetToken().Position.Line
	}
	d.faults = append(d.faults, Fault{
		File:    d.file,
		Line:    line,
		Field:   field,
		Message: fmt.Sprintf(format, args...),
	})
}

func (d *decoder) decode(data []byte) {
	f, err := yamlparser.ParseBytes(data, 0, yamlparser.AllowDuplicateMapKey())
	if err != nil {
		d.syntaxFault(err)
		return
	}
	for _, doc := range f.Docs {
		d.document(doc.Body)
	}
}

func (d *decoder) syntaxFault(err error) {
	f := Fault{
		File:    d.file,
		Message: "the file cannot be parsed",
	}
	var syntax yaml.Error
	if errors.As(err, &syntax) {
		f.Message = syntax.GetMessage()
		if t := syntax.GetToken(); t != nil {
			f.Line = t.Position.Line
		}
	}
	d.faults = append(d.faults, f)
}

func (d *decoder) document(n ast.Node) {
	switch n := n.(type) {
	case nil, *ast.NullNode, *ast.CommentGroupNode:
	case *ast.SequenceNode:
		for _, item := range n.Values {
			d.object(item)
		}
	default:
		d.object(n)
	}
}

func (d *decoder) object(n ast.Node) {
	pairs, ok := pairsOf(n)
	if !ok {
		d.fault(n, "", "an object is expected, not %s", nameOf(n))
		return
	}
	kind, known := d.kind(n, pairs)
	if !known {
		return
	}
	v := reflect.New(reflect.TypeOf(kind)).Elem()
	rest := slices.DeleteFunc(slices.Clone(pairs), func(p *ast.MappingValueNode) bool { return keyOf(p) == "Kind" })
	before := len(d.faults)
	d.fields(rest, v, "")
	if o, ok := v.Interface().(Object); ok && len(d.faults) == before {
		d.set = append(d.set, o)
	}
}

func (d *decoder) kind(n ast.Node, pairs []*ast.MappingValueNode) (Object, bool) {
	var found []*ast.MappingValueNode
	for _, p := range pairs {
		if keyOf(p) == "Kind" {
			found = append(found, p)
		}
	}
	if len(found) == 0 {
		d.fault(n, "Kind", "the field is missing")
		return nil, false
	}
	if len(found) > 1 {
		d.fault(found[1], "Kind", "the field is given twice")
	}
	text, ok := textOf(found[0].Value)
	if !ok {
		d.fault(found[0].Value, "Kind", "a string is expected, not %s", nameOf(found[0].Value))
		return nil, false
	}
	for _, p := range prototypes {
		if p.ObjectKind() == text {
			return p, true
		}
	}
	d.fault(found[0].Value, "Kind", "the kind %q is unknown; known: %s", text, strings.Join(Kinds(), ", "))
	return nil, false
}

func (d *decoder) fields(pairs []*ast.MappingValueNode, v reflect.Value, path string) {
	seen := map[string]bool{}
	for _, p := range pairs {
		name := keyOf(p)
		field := path + name
		target := v.FieldByName(name)
		switch {
		case !target.IsValid():
			d.fault(p, field, "the field is unknown")
		case seen[name]:
			d.fault(p, field, "the field is given twice")
		default:
			d.value(p.Value, target, field)
		}
		seen[name] = true
	}
}

func (d *decoder) value(n ast.Node, v reflect.Value, path string) {
	switch {
	case v.Type() == durationType, v.Type() == timeType, v.Type() == addressType:
		d.text(n, v, path)
	case v.Kind() == reflect.String:
		d.text(n, v, path)
	case v.Kind() == reflect.Int:
		d.integer(n, v, path)
	case v.Kind() == reflect.Slice:
		d.list(n, v, path)
	case v.Kind() == reflect.Struct:
		pairs, ok := pairsOf(n)
		if !ok {
			d.fault(n, path, "a mapping is expected, not %s", nameOf(n))
			return
		}
		d.fields(pairs, v, path+".")
	}
}

func (d *decoder) list(n ast.Node, v reflect.Value, path string) {
	seq, ok := n.(*ast.SequenceNode)
	if !ok {
		d.fault(n, path, "a list is expected, not %s", nameOf(n))
		return
	}
	if len(seq.Values) == 0 {
		return
	}
	list := reflect.MakeSlice(v.Type(), len(seq.Values), len(seq.Values))
	for i, item := range seq.Values {
		d.value(item, list.Index(i), fmt.Sprintf("%s[%d]", path, i))
	}
	v.Set(list)
}

func (d *decoder) integer(n ast.Node, v reflect.Value, path string) {
	if i, ok := n.(*ast.IntegerNode); ok {
		switch x := i.Value.(type) {
		case int64:
			v.SetInt(x)
			return
		case uint64:
			if x <= 1<<62 {
				v.SetInt(int64(x))
				return
			}
		}
		d.fault(n, path, "the number is out of range")
		return
	}
	d.fault(n, path, "a whole number is expected, not %s", nameOf(n))
}

func (d *decoder) text(n ast.Node, v reflect.Value, path string) {
	text, ok := textOf(n)
	if !ok {
		d.fault(n, path, "%s is expected, not %s", expected(v.Type()), nameOf(n))
		return
	}
	if err := setText(v, text); err != nil {
		d.fault(n, path, "%q is not %s", text, expected(v.Type()))
	}
}

// expected says which text a type takes.
func expected(t reflect.Type) string {
	switch t {
	case durationType:
		return `a duration such as "130ms"`
	case timeType:
		return "a time in RFC 3339"
	case addressType:
		return `an address such as "127.0.0.1:21000"`
	}
	if c, ok := choices[t]; ok {
		return "one of " + strings.Join(c, ", ")
	}
	return "a string"
}

var errNotAccepted = errors.New("the text is not accepted")

func setText(v reflect.Value, text string) error {
	switch v.Type() {
	case durationType:
		x, err := time.ParseDuration(text)
		v.SetInt(int64(x))
		return err
	case timeType:
		x, err := time.Parse(time.RFC3339, text)
		v.Set(reflect.ValueOf(x.UTC()))
		return err
	case addressType:
		x, err := netip.ParseAddrPort(text)
		v.Set(reflect.ValueOf(x))
		return err
	}
	if c, ok := choices[v.Type()]; ok && !slices.Contains(c, text) {
		return errNotAccepted
	}
	v.SetString(text)
	return nil
}

// pairsOf returns the pairs of a mapping.
func pairsOf(n ast.Node) ([]*ast.MappingValueNode, bool) {
	switch n := n.(type) {
	case *ast.MappingNode:
		return n.Values, true
	case *ast.MappingValueNode:
		return []*ast.MappingValueNode{n}, true
	default:
		return nil, false
	}
}

func keyOf(p *ast.MappingValueNode) string {
	if s, ok := p.Key.(*ast.StringNode); ok {
		return s.Value
	}
	return p.Key.String()
}

func textOf(n ast.Node) (string, bool) {
	switch n := n.(type) {
	case *ast.StringNode:
		return n.Value, true
	case *ast.LiteralNode:
		return n.Value.Value, true
	default:
		return "", false
	}
}

// nameOf names the type of a node in messages.
func nameOf(n ast.Node) string {
	switch n.(type) {
	case nil, *ast.NullNode:
		return "nothing"
	case *ast.StringNode, *ast.LiteralNode:
		return "a string"
	case *ast.IntegerNode:
		return "a whole number"
	case *ast.FloatNode, *ast.InfinityNode, *ast.NanNode:
		return "a decimal number"
	case *ast.BoolNode:
		return "true or false"
	case *ast.SequenceNode:
		return "a list"
	case *ast.MappingNode, *ast.MappingValueNode:
		return "a mapping"
	case *ast.AnchorNode, *ast.AliasNode, *ast.MergeKeyNode:
		return "an anchor or alias"
	case *ast.TagNode:
		return "a tag"
	default:
		return "another type"
	}
}
