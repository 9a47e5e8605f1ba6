// Package tokens defines the text that stand-in engines generate: each token follows from the target, the prompt and
// its index alone, so that a client can verify that an answer is whole, unrepeated and its own.
package tokens
