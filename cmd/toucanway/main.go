// Command toucanway is the entry host daemon and the operators' client.
package main

func main() {}
