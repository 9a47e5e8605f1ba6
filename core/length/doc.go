// Package length predicts the output length of requests from the outcomes of earlier ones.
//
// A Predictor keeps histograms of observed lengths by features of the requests. It is not safe for concurrent use.
package length
