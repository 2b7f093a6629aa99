// Command damaskpick is a serving layer for prompts of very different lengths on a shared fleet of model engines and other services.
package main

import (
	"os"

	"damaskpick.example/damaskpick/cmd"
)

func main() {
	os.Exit(cmd.Main(os.Args[1:]))
}
