// Package switches sets the fields of a stand-in's Switches struct from the query string of a control request.
package switches

import (
	"fmt"
	"net/http"
	"reflect"
	"strconv"
	"time"
)

// Apply sets the fields of *p that the query string of r names. Supported field types are bool, int, float64, string and
// time.Duration. If a name is unknown or a value is invalid, Apply returns an error and leaves *p unchanged.
func Apply[T any](p *T, r *http.Request) error {
	next := *p
	fields := reflect.ValueOf(&next).Elem()
	for name, values := range r.URL.Query() {
		field := fields.FieldByName(name)
		if !field.IsValid() {
			return fmt.Errorf("unknown switch %s", name)
		}
		for _, value := range values {
			if err := setField(field, value); err != nil {
				return fmt.Errorf("setting switch %s to %q: %w", name, value, err)
			}
		}
	}
	*p = next
	return nil
}

func setField(field reflect.Value, text string) error {
	v, err := parseAs(field.Interface(), text)
	if err != nil {
		return err
	}
	field.Set(reflect.ValueOf(v))
	return nil
}

// parseAs parses text as a value of the type of current.
func parseAs(current any, text string) (any, error) {
	switch current.(type) {
	case bool:
		return strconv.ParseBool(text)
	case int:
		return strconv.Atoi(text)
	case float64:
		return strconv.ParseFloat(text, 64)
	case time.Duration:
		return time.ParseDuration(text)
	case string:
		return text, nil
	default:
		return nil, fmt.Errorf("unsupported field type %T", current)
	}
}
