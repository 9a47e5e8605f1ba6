package main

import (
	"fmt"
	"strings"

	"github.com/jessevdk/go-flags"

	"toucanway/io/terminal"
)

// commandPages returns a page for each command, and an index with the options and exit codes that all commands share.
func commandPages() map[string]string {
	parser := terminal.Parser()
	out := map[string]string{}
	var index strings.Builder
	index.WriteString("# Commands\n\n" + generatedNote + "\n| command | purpose |\n|---|---|\n")
	for _, c := range parser.Commands() {
		out["docs/commands/"+c.Name+".md"] = commandPage(c)
		fmt.Fprintf(&index, "| [%[1]s](%[1]s.md) | %[2]s |\n", c.Name, c.ShortDescription)
	}
	index.WriteString("\n## Options of every command\n")
	for _, g := range parser.Groups() {
		if g.ShortDescription != "Help Options" {
			writeOptions(&index, g.Options())
		}
	}
	index.WriteString("\n## Exit codes\n\n| code | meaning |\n|---|---|\n")
	for code, meaning := range terminal.ExitCodes() {
		fmt.Fprintf(&index, "| %d | %s |\n", code, meaning)
	}
	index.WriteString("\nErrors are written to the standard error output; with `--output=json` as `{\"error\":{\"code\",\"message\",\"sections\",\"problems\"}}`.\n")
	out["docs/commands/README.md"] = index.String()
	return out
}

func commandPage(c *flags.Command) string {
	var b strings.Builder
	fmt.Fprintf(&b, "# %s\n\n%s\n%s.\n\n```\ntoucanway [OPTIONS] %s%s\n```\n\n%s\n", c.Name, generatedNote, c.ShortDescription, c.Name, usage(c), c.LongDescription)
	if args := c.Args(); len(args) > 0 {
		b.WriteString("\n| argument | meaning |\n|---|---|\n")
		for _, a := range args {
			fmt.Fprintf(&b, "| `%s` | %s |\n", a.Name, a.Description)
		}
	}
	writeOptions(&b, c.Options())
	b.WriteString("\nOptions of every command and exit codes: [Commands](README.md).\n")
	return b.String()
}

func usage(c *flags.Command) string {
	var b strings.Builder
	for _, o := range c.Options() {
		if o.Required {
			fmt.Fprintf(&b, " %s", optionName(o))
			continue
		}
		fmt.Fprintf(&b, " [%s]", optionName(o))
	}
	for _, a := range c.Args() {
		name := a.Name
		if c.ArgsRequired {
			fmt.Fprintf(&b, " %s", name)
			continue
		}
		fmt.Fprintf(&b, " [%s]", name)
	}
	return b.String()
}

func optionName(o *flags.Option) string {
	name := "--" + o.LongName
	switch {
	case len(o.Choices) > 0:
		return name + "=" + strings.Join(o.Choices, "|")
	case o.ValueName != "":
		return name + "=" + o.ValueName
	default:
		return name
	}
}

func writeOptions(b *strings.Builder, options []*flags.Option) {
	if len(options) == 0 {
		return
	}
	b.WriteString("\n| option | default | meaning |\n|---|---|---|\n")
	for _, o := range options {
		def := "-"
		switch {
		case o.Required:
			def = "required"
		case len(o.Default) > 0:
			def = "`" + strings.Join(o.Default, ",") + "`"
		}
		meaning := o.Description
		if o.EnvDefaultKey != "" {
			meaning += " Environment variable: `" + o.EnvDefaultKey + "`."
		}
		fmt.Fprintf(b, "| `%s` | %s | %s |\n", strings.ReplaceAll(optionName(o), "|", "\\|"), def, meaning)
	}
}
