package config

import (
	"fmt"

	"toucanway/core/fleet"
	"toucanway/core/schema"
)

var (
	spreadNames = [...]string{"none", "data-centres", "regions"}
	roleNames   = [...]string{"mixed", "prefill", "decode"}
)

// Kinds returns the scalar types of the document; the settings files use them, too.
func Kinds() schema.Kinds {
	spreads := map[string]Spread{}
	for i, n := range spreadNames {
		spreads[n] = Spread(i)
	}
	roles := map[string]fleet.Role{}
	for i, n := range roleNames {
		roles[n] = fleet.Role(i)
	}
	classes, classNames := map[string]fleet.Class{}, []string{}
	for c := fleet.Class(0); c < fleet.NumClasses; c++ {
		classes[c.String()] = c
		classNames = append(classNames, c.String())
	}
	sections, sectionNames := map[string]Section{}, []string{}
	for _, s := range Sections() {
		sections[string(s)] = s
		sectionNames = append(sectionNames, string(s))
	}
	return schema.Kinds{
		schema.TypeOf[Spread]():      schema.Enum(spreads, spreadNames[:]...),
		schema.TypeOf[fleet.Role]():  schema.Enum(roles, roleNames[:]...),
		schema.TypeOf[fleet.Class](): schema.Enum(classes, classNames...),
		schema.TypeOf[Section]():     schema.Enum(sections, sectionNames...),
		schema.TypeOf[Credential]():  {Label: "a credential hash, sha256:HEX or sha256:SALT:HEX", Parse: parseCredential},
	}
}

func parseCredential(text string) (any, error) {
	c := Credential(text)
	if !c.isValid() {
		return nil, fmt.Errorf("is not a SHA-256 hash of a token")
	}
	return c, nil
}

// RoleName returns a role as written in the document.
func RoleName(r fleet.Role) string {
	if r < 0 || int(r) >= len(roleNames) {
		return "unknown"
	}
	return roleNames[r]
}
