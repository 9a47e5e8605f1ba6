package config

import (
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"strings"
)

// Credential is the stored hash of a bearer token: sha256:HEX of the token, or sha256:SALT:HEX of salt and token. A plain
// hash is safe only for tokens of high entropy, such as 32 random bytes.
type Credential string

const credentialPrefix = "sha256:"

// HashToken returns the credential of a token; the salt may be empty.
func HashToken(salt, token string) Credential {
	sum := sha256.Sum256([]byte(salt + token))
	if salt != "" {
		salt += ":"
	}
	return Credential(credentialPrefix + salt + hex.EncodeToString(sum[:]))
}

// salt returns the salt of a credential, empty for a plain hash.
func (c Credential) salt() string {
	rest := strings.TrimPrefix(string(c), credentialPrefix)
	if s, _, ok := strings.Cut(rest, ":"); ok {
		return s
	}
	return ""
}

// isValid reports whether the credential has one of the two stored forms.
func (c Credential) isValid() bool {
	rest, ok := strings.CutPrefix(string(c), credentialPrefix)
	if !ok {
		return false
	}
	if s, h, salted := strings.Cut(rest, ":"); salted {
		if s == "" || strings.Contains(h, ":") {
			return false
		}
		rest = h
	}
	raw, err := hex.DecodeString(rest)
	return err == nil && len(raw) == sha256.Size && strings.ToLower(rest) == rest
}

// HasToken reports whether a bearer token is one of the operator's.
func (o Operator) HasToken(token string) bool {
	return slices.ContainsFunc(o.Credentials, func(c Credential) bool { return HashToken(c.salt(), token) == c })
}

// credentialIndex finds the holder of a token, computing one hash per distinct salt.
type credentialIndex struct {
	salts   []string
	holders map[Credential]int
}

// add adds a credential. If another holder has the same one already, it returns that holder's position and true.
func (x *credentialIndex) add(c Credential, holder int) (int, bool) {
	if x.holders == nil {
		x.holders = map[Credential]int{}
	}
	if earlier, ok := x.holders[c]; ok {
		return earlier, true
	}
	x.holders[c] = holder
	salt := c.salt()
	for _, s := range x.salts {
		if s == salt {
			return 0, false
		}
	}
	x.salts = append(x.salts, salt)
	return 0, false
}

// find returns the position of the holder of a token, and whether there is one.
func (x *credentialIndex) find(token string) (int, bool) {
	for _, salt := range x.salts {
		if i, ok := x.holders[HashToken(salt, token)]; ok {
			return i, true
		}
	}
	return 0, false
}
