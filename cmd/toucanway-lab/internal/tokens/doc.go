// Package tokens defines the text that simulated engines generate. Each token depends only on the target, the prompt and its
// index, so that a client can verify that an answer is complete, has no repeated tokens and belongs to its request.
package tokens
