"""Command-line parsing of the programs, with defopt and the settings classes."""

import contextlib
import inspect
import io

import attrs
import defopt

from carobstand import errors, setting_types

PREFIX = "CAROBSTAND_"
"""Prefix of environment variables that are settings."""


def flag(field):
    """Return the flag of a settings field as shown in error messages."""
    if field.metadata.get("positional"):
        return f"<{field.name}>"
    return "--" + field.name.replace("_", "-")


def variable(field):
    """Return the environment variable of a settings field."""
    return PREFIX + field.name.upper()


def from_argv(cls, argv):
    """Return the unparsed text of each setting in `argv`, by field name.

    Raises
    ------
    SettingsError
        If an argument is unknown or incomplete.
    """
    captured_stderr = io.StringIO()
    try:
        with contextlib.redirect_stderr(captured_stderr):
            call = defopt.bind(
                _command(cls),
                argv=_options_first(cls, argv),
                cli_options="has_default",
                short={},
                show_defaults=False,
                show_types=False,
                no_negated_flags=True,
            )
    except SystemExit as exc:
        if not exc.code:
            raise
        message = (
            captured_stderr.getvalue().strip().splitlines()[-1].partition("error: ")[2]
        )
        raise errors.SettingsError(message, step="settings") from exc
    return call()


def _options_first(cls, argv):
    """Move positional arguments after options; argparse needs them contiguous."""
    boolean_flags = {
        flag(f)
        for f in attrs.fields(cls)
        if f.metadata["parse"] is setting_types.boolean
    }
    options, positional = [], []
    rest = iter(argv)
    for arg in rest:
        if arg == "--":
            positional.extend(rest)
        elif not arg.startswith("-") or arg == "-":
            positional.append(arg)
        else:
            options.append(arg)
            if arg not in boolean_flags and arg.startswith("--") and "=" not in arg:
                options.extend([v for v in [next(rest, None)] if v is not None])
    return [*options, "--", *positional] if positional else options


def _command(cls):
    """Return a function with one parameter per setting, for defopt."""

    def command(*args, **kwargs):
        texts = {
            name: "1" if text is True else text
            for name, text in kwargs.items()
            if text not in (None, False)
        }
        for field in attrs.fields(cls):
            if field.metadata.get("positional") and args:
                texts[field.name] = tuple(args)
        return texts

    docs = _attribute_docs(cls)
    parameters, lines = [], [inspect.getdoc(cls).partition("\n")[0], ""]
    for field in sorted(
        attrs.fields(cls), key=lambda field: not field.metadata.get("positional")
    ):
        is_boolean = field.metadata["parse"] is setting_types.boolean
        positional = field.metadata.get("positional")
        parameters.append(
            inspect.Parameter(
                field.name,
                inspect.Parameter.VAR_POSITIONAL
                if positional
                else inspect.Parameter.KEYWORD_ONLY,
                default=inspect.Parameter.empty
                if positional
                else (False if is_boolean else None),
                annotation=bool if is_boolean else str,
            )
        )
        lines.append(f":param {field.name}: {docs[field.name]}{_hint(field)}")
    command.__doc__ = "\n".join(lines)
    command.__signature__ = inspect.Signature(parameters)
    command.__annotations__ = {p.name: p.annotation for p in parameters}
    return command


def _hint(field):
    """Return the part of the help text on default and environment variable."""
    if field.metadata.get("positional"):
        return ""
    if field.default is attrs.NOTHING:
        return f" (required; {variable(field)})"
    default = field.default
    if default in ("", (), False):
        return f" ({variable(field)})"
    return f" (default {default}; {variable(field)})"


def _attribute_docs(cls):
    """Return the description of each attribute in the docstrings of `cls`."""
    docs = {}
    sections = [
        inspect.cleandoc(base.__doc__).partition("Attributes\n----------\n")[2]
        for base in reversed(cls.__mro__[:-1])
    ]
    for line in "\n".join(sections).splitlines():
        if line and not line.startswith(" "):
            name = line
            docs[name] = ""
        elif line:
            docs[name] = f"{docs[name]} {line.strip()}".strip()
    return docs
