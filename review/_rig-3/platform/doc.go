// Command platform plays the users' platform beside real gateways and controllers on loopback addresses, for the cases 11 to 15 of the review.
package main
