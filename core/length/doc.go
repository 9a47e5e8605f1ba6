// Package length predicts the output length of requests from the outcomes of earlier ones.
package length
