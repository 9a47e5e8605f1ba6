// Package service simulates a plain service. It counts its runs by a key in the request body and keeps the counts across
// crashes, like the database behind a real service.
package service
