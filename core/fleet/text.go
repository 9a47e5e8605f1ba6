package fleet

import (
	"fmt"
	"slices"
	"strings"
)

// enumNames lists the text forms of the values of an enumeration, in order.
type enumNames []string

var (
	kindNames    = enumNames{"engine", "service"}
	stateNames   = enumNames{"loading", "ready", "unloading"}
	tierNames    = enumNames{"memory", "disk", "remote"}
	roleNames    = enumNames{"mixed", "prefill", "decode"}
	outcomeNames = enumNames{"done", "refused", "failed", "in-doubt"}
)

func (n enumNames) text(i int) string {
	if i < 0 || i >= len(n) {
		return fmt.Sprintf("unknown-%d", i)
	}
	return n[i]
}

func (n enumNames) parse(what string, text []byte) (int, error) {
	i := slices.Index(n, string(text))
	if i < 0 {
		return 0, fmt.Errorf("unknown %s %q; want one of %s", what, text, strings.Join(n, ", "))
	}
	return i, nil
}

// String returns the kind as backend servers announce it.
func (k Kind) String() string { return kindNames.text(int(k)) }

// MarshalText returns the kind as backend servers announce it.
func (k Kind) MarshalText() ([]byte, error) { return []byte(k.String()), nil }

// UnmarshalText reads a kind as backend servers announce it.
func (k *Kind) UnmarshalText(text []byte) error {
	i, err := kindNames.parse("kind", text)
	*k = Kind(i)
	return err
}

// String returns the state's name.
func (s ReplicaState) String() string { return stateNames.text(int(s)) }

// MarshalText returns the state's name.
func (s ReplicaState) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// UnmarshalText reads a state's name.
func (s *ReplicaState) UnmarshalText(text []byte) error {
	i, err := stateNames.parse("replica state", text)
	*s = ReplicaState(i)
	return err
}

// String returns the tier's name.
func (t Tier) String() string { return tierNames.text(int(t)) }

// MarshalText returns the tier's name.
func (t Tier) MarshalText() ([]byte, error) { return []byte(t.String()), nil }

// UnmarshalText reads a tier's name.
func (t *Tier) UnmarshalText(text []byte) error {
	i, err := tierNames.parse("tier", text)
	*t = Tier(i)
	return err
}

// String returns the role's name.
func (r Role) String() string { return roleNames.text(int(r)) }

// MarshalText returns the role's name.
func (r Role) MarshalText() ([]byte, error) { return []byte(r.String()), nil }

// UnmarshalText reads a role's name.
func (r *Role) UnmarshalText(text []byte) error {
	i, err := roleNames.parse("role", text)
	*r = Role(i)
	return err
}

// String returns the outcome's name.
func (o OrderOutcome) String() string { return outcomeNames.text(int(o)) }

// MarshalText returns the outcome's name.
func (o OrderOutcome) MarshalText() ([]byte, error) { return []byte(o.String()), nil }

// UnmarshalText reads an outcome's name.
func (o *OrderOutcome) UnmarshalText(text []byte) error {
	i, err := outcomeNames.parse("outcome", text)
	*o = OrderOutcome(i)
	return err
}
