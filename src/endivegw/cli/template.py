"""``endivegw template``: what many accounts share."""

from __future__ import annotations

from typing import TextIO

import click
from attrs import evolve

from endivegw.cli.operating import (
    CommandInputError,
    OperatorContext,
    say_outcome,
    value_of,
    with_platform,
    writes,
)
from endivegw.cli.output import output_option, print_json, print_table
from endivegw.cli.parameters import (
    check_names,
    parse_pairs,
    read_template_file,
    seen_line,
)
from endivegw.commands.changes import difference
from endivegw.commands.template import (
    SeenTemplate,
    create_template,
    delete_template,
    edit_template,
    see_template,
)
from endivegw.configuration.documents import TemplateDocument
from endivegw.configuration.ini import format_parameters, value_texts
from endivegw.configuration.parameters import merge_parameters
from endivegw.configuration.store import load_documents
from endivegw.types import ConfigRevision

__all__ = ["template"]


@click.group()
def template() -> None:
    """Create, edit, show and delete templates of client accounts.

    A template is an INI file with one section, [template]. Accounts take
    from it each parameter that they do not set themselves.
    """


@template.command()
@click.argument("name")
@click.option("--file", type=click.File(), help="INI file; - for standard input.")
@click.argument("pairs", nargs=-1, metavar="[KEY=VALUE]...")
@writes
@with_platform
async def create(
    context: OperatorContext, name: str, file: TextIO | None, pairs: tuple[str, ...]
) -> None:
    """Create a template from a file, KEY=VALUE arguments or both."""
    parameters = parse_pairs(pairs)
    if file is not None:
        parameters = merge_parameters(read_template_file(file).parameters, parameters)
    result = await create_template(
        context.platform.table, context.operation, name, parameters
    )
    say_outcome(value_of(result), context)


@template.command()
@click.argument("name")
@click.option("--file", type=click.File(), help="INI file; - for standard input.")
@click.argument("pairs", nargs=-1, metavar="[KEY=VALUE]...")
@click.option("--unset", multiple=True, metavar="KEY", help="Take a parameter out.")
@click.option(
    "--overwrite",
    is_flag=True,
    help="Take a file that does not say which version it was made from.",
)
@writes
@with_platform
async def edit(
    context: OperatorContext,
    name: str,
    file: TextIO | None,
    pairs: tuple[str, ...],
    unset: tuple[str, ...],
    overwrite: bool,
) -> None:
    """Replace a template by a file, or set and unset single parameters.

    A file made by "template show" names the version that it was made from;
    the edit is refused where somebody else changed the template since.
    """
    check_names(unset)
    changed = parse_pairs(pairs)
    seen = value_of(await see_template(context.platform.table, context.operation, name))
    parameters = seen.template.parameters
    if file is not None:
        content = read_template_file(file)
        parameters = content.parameters
        seen = _seen_by_file(seen, content.seen, overwrite)
    parameters = evolve(
        merge_parameters(parameters, changed), **{key: None for key in unset}
    )
    result = await edit_template(
        context.platform.table, context.operation, seen, parameters
    )
    say_outcome(value_of(result), context)


def _seen_by_file(
    seen: SeenTemplate, by_file: tuple[int, int] | None, overwrite: bool
) -> SeenTemplate:
    if overwrite:
        return seen
    if by_file is None:
        raise CommandInputError(
            "the file does not say which version it was made from; start from "
            '"template show", or give --overwrite'
        )
    revision, version = by_file
    return evolve(seen, revision=ConfigRevision(revision), version=version)


@template.command()
@click.argument("name")
@output_option
@with_platform
async def show(context: OperatorContext, name: str, output: str) -> None:
    """Print a template as a file for "template edit"."""
    seen = value_of(await see_template(context.platform.table, context.operation, name))
    if output == "json":
        print_json(
            {
                "name": name,
                "revision": seen.revision,
                "version": seen.version,
                "parameters": value_texts(seen.template.parameters),
            }
        )
        return
    click.echo(seen_line(seen.revision, seen.version))
    click.echo(format_parameters(seen.template.parameters), nl=False)


@template.command(name="list")
@output_option
@with_platform
async def list_templates(context: OperatorContext, output: str) -> None:
    """List templates and how many accounts use each."""
    documents = value_of(
        await load_documents(
            context.platform.table, timeout_s=context.operation.timeout_s
        )
    )
    rows = [
        (document.template, len(documents.accounts_of(document.template)))
        for _, document in sorted(documents.by_name.items())
        if isinstance(document, TemplateDocument)
    ]
    print_table(("template", "accounts"), rows, output)


@template.command()
@click.argument("name")
@click.argument("file", type=click.File())
@with_platform
async def diff(context: OperatorContext, name: str, file: TextIO) -> None:
    """Show what a file would change in a template."""
    seen = value_of(await see_template(context.platform.table, context.operation, name))
    content = read_template_file(file)
    changed = difference(seen.template.parameters, content.parameters)
    click.echo(changed.replace("; ", "\n") if changed else "no difference")


@template.command()
@click.argument("name")
@writes
@with_platform
async def delete(context: OperatorContext, name: str) -> None:
    """Delete a template that no account uses."""
    result = await delete_template(context.platform.table, context.operation, name)
    say_outcome(value_of(result), context)
