package schema

import (
	"fmt"
	"math"
	"reflect"
	"strconv"
	"strings"
	"time"

	"toucanway/core/fleet"
)

// Kind is a type of scalar value.
type Kind struct {
	// Label names the type in reference pages and remedies, such as "a size, e.g. 14GiB".
	Label string
	// Parse returns the value of a text. Its error message follows the value in problems, as in `"x" is not a number`.
	Parse func(text string) (any, error)
}

// Kinds are the scalar types of a schema besides the built-in ones: names, numbers, booleans, sizes and durations.
type Kinds map[reflect.Type]Kind

// Enum returns the kind of a type with a fixed set of names.
func Enum[T any](values map[string]T, order ...string) Kind {
	label := "one of " + strings.Join(order, ", ")
	return Kind{Label: label, Parse: func(text string) (any, error) {
		v, ok := values[text]
		if !ok {
			return nil, fmt.Errorf("is not a known value")
		}
		return v, nil
	}}
}

// TypeOf returns the key of type T in Kinds.
func TypeOf[T any]() reflect.Type { return reflect.TypeFor[T]() }

func (k Kinds) lookup(t reflect.Type) (Kind, bool) {
	if kind, ok := k[t]; ok {
		return kind, true
	}
	switch t {
	case reflect.TypeFor[fleet.Bytes]():
		return Kind{Label: "a size, e.g. 512MiB or 14GiB", Parse: parseBytes}, true
	case reflect.TypeFor[time.Duration]():
		return Kind{Label: "a duration, e.g. 250ms, 30s or 1h30m", Parse: parseDuration}, true
	}
	switch t.Kind() {
	case reflect.String:
		return Kind{Label: "a name", Parse: func(text string) (any, error) { return text, nil }}, true
	case reflect.Int, reflect.Uint64, reflect.Uint32:
		return Kind{Label: "a whole number", Parse: parseInt}, true
	case reflect.Float64:
		return Kind{Label: "a number", Parse: parseFloat}, true
	case reflect.Bool:
		return Kind{Label: "true or false", Parse: parseBool}, true
	default:
		return Kind{}, false
	}
}

var byteUnits = []struct {
	suffix string
	unit   fleet.Bytes
}{{"TiB", 1 << 40}, {"GiB", fleet.GiB}, {"MiB", fleet.MiB}, {"KiB", fleet.KiB}, {"B", 1}}

func parseBytes(text string) (any, error) {
	for _, u := range byteUnits {
		number, ok := strings.CutSuffix(text, u.suffix)
		if !ok {
			continue
		}
		if n, err := strconv.ParseInt(number, 10, 64); err == nil && n >= 0 && n <= math.MaxInt64/int64(u.unit) {
			return fleet.Bytes(n) * u.unit, nil
		}
		f, err := strconv.ParseFloat(number, 64)
		if bytes := f * float64(u.unit); err == nil && bytes >= 0 && bytes < math.MaxInt64 {
			return fleet.Bytes(bytes), nil
		}
		break
	}
	return nil, fmt.Errorf("is not a size with one of the units B, KiB, MiB, GiB, TiB")
}

// FormatBytes returns a size in the largest unit that divides it.
func FormatBytes(b fleet.Bytes) string {
	for _, u := range byteUnits {
		if b != 0 && b%u.unit == 0 {
			return strconv.FormatInt(int64(b/u.unit), 10) + u.suffix
		}
	}
	return "0B"
}

func parseDuration(text string) (any, error) {
	d, err := time.ParseDuration(text)
	if err != nil || text == "0" {
		return nil, fmt.Errorf("is not a duration with one of the units ms, s, m, h")
	}
	if d < 0 {
		return nil, fmt.Errorf("is negative")
	}
	return d, nil
}

func parseInt(text string) (any, error) {
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		return nil, fmt.Errorf("is not a whole number")
	}
	return n, nil
}

func parseFloat(text string) (any, error) {
	f, err := strconv.ParseFloat(text, 64)
	if err != nil || math.IsNaN(f) || math.IsInf(f, 0) {
		return nil, fmt.Errorf("is not a number")
	}
	return f, nil
}

func parseBool(text string) (any, error) {
	switch text {
	case "true":
		return true, nil
	case "false":
		return false, nil
	default:
		return nil, fmt.Errorf("is neither true nor false")
	}
}

// numericValue returns a numeric value for comparison with a bound.
func numericValue(v reflect.Value) float64 {
	switch v.Kind() {
	case reflect.Int, reflect.Int64:
		return float64(v.Int())
	case reflect.Uint64, reflect.Uint32:
		return float64(v.Uint())
	case reflect.Float64:
		return v.Float()
	default:
		panic("schema: bound on a value of type " + v.Type().String())
	}
}

// assign stores a parsed value in a field, converted to the field's type. It returns an error if the value is out of range for an
// unsigned field.
func assign(field reflect.Value, parsed any) error {
	v := reflect.ValueOf(parsed)
	if n, ok := parsed.(int64); ok {
		switch field.Kind() {
		case reflect.Uint64, reflect.Uint32:
			if n < 0 || field.OverflowUint(uint64(n)) {
				return fmt.Errorf("is out of range")
			}
		default:
		}
	}
	field.Set(v.Convert(field.Type()))
	return nil
}
