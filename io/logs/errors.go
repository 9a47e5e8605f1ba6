package logs

import "go.uber.org/zap"

// MaxErrorBytes bounds the text of an error in a line.
const MaxErrorBytes = 512

// ErrorField returns the field of an error that may quote what another process has sent, and may therefore be of any length. It returns an
// empty field for nil.
func ErrorField(err error) zap.Field {
	if err == nil {
		return zap.Skip()
	}
	return zap.String("error", ErrorText(err))
}

// ErrorText returns the text of an error, MaxErrorBytes at most.
func ErrorText(err error) string {
	text := err.Error()
	return text[:min(len(text), MaxErrorBytes)]
}
