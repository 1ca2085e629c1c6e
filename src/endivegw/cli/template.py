"""``endivegw template``: parameters that several accounts share."""

from __future__ import annotations

from typing import TextIO

import click
from attrs import evolve

from endivegw.cli.operating import (
    CommandInputError,
    OperatorContext,
    print_outcome,
    unwrap_result,
    with_platform,
    write_options,
)
from endivegw.cli.output import output_option, print_json, print_table
from endivegw.cli.parameters import (
    check_parameter_names,
    parse_pairs,
    read_template_file,
    version_comment,
)
from endivegw.commands.changes import difference
from endivegw.commands.template import (
    LoadedTemplate,
    create_template,
    delete_template,
    edit_template,
    load_template,
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

    A template is an INI file with one section, [template]. It supplies the
    parameters that its accounts do not set themselves.
    """


@template.command()
@click.argument("name")
@click.option("--file", type=click.File(), help="INI file; - for standard input.")
@click.argument("pairs", nargs=-1, metavar="[KEY=VALUE]...")
@write_options
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
    print_outcome(unwrap_result(result), context)


@template.command()
@click.argument("name")
@click.option("--file", type=click.File(), help="INI file; - for standard input.")
@click.argument("pairs", nargs=-1, metavar="[KEY=VALUE]...")
@click.option("--unset", multiple=True, metavar="KEY", help="Remove a parameter.")
@click.option(
    "--overwrite",
    is_flag=True,
    help="Ignore which version the file was made from.",
)
@write_options
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

    A file made by "template show" records the version that it was made from; the
    edit is refused if the template has changed since.
    """
    check_parameter_names(unset)
    changes = parse_pairs(pairs)
    base = unwrap_result(
        await load_template(context.platform.table, context.operation, name)
    )
    parameters = base.template.parameters
    if file is not None:
        content = read_template_file(file)
        parameters = content.parameters
        base = _base_from_file(base, content.base, overwrite)
    parameters = evolve(
        merge_parameters(parameters, changes), **{key: None for key in unset}
    )
    result = await edit_template(
        context.platform.table, context.operation, base, parameters
    )
    print_outcome(unwrap_result(result), context)


def _base_from_file(
    base: LoadedTemplate, file_base: tuple[int, int] | None, overwrite: bool
) -> LoadedTemplate:
    if overwrite:
        return base
    if file_base is None:
        raise CommandInputError(
            "the file does not state which version it was made from; start from "
            '"template show" or use --overwrite'
        )
    revision, version = file_base
    return evolve(base, revision=ConfigRevision(revision), version=version)


@template.command()
@click.argument("name")
@output_option
@with_platform
async def show(context: OperatorContext, name: str, output: str) -> None:
    """Print a template as a file for "template edit"."""
    loaded = unwrap_result(
        await load_template(context.platform.table, context.operation, name)
    )
    if output == "json":
        print_json(
            {
                "name": name,
                "revision": loaded.revision,
                "version": loaded.version,
                "parameters": value_texts(loaded.template.parameters),
            }
        )
        return
    click.echo(version_comment(loaded.revision, loaded.version))
    click.echo(format_parameters(loaded.template.parameters), nl=False)


@template.command(name="list")
@output_option
@with_platform
async def list_templates(context: OperatorContext, output: str) -> None:
    """List templates and the number of accounts that use each."""
    documents = unwrap_result(
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
    loaded = unwrap_result(
        await load_template(context.platform.table, context.operation, name)
    )
    content = read_template_file(file)
    changes = difference(loaded.template.parameters, content.parameters)
    click.echo(changes.replace("; ", "\n") if changes else "no difference")


@template.command()
@click.argument("name")
@write_options
@with_platform
async def delete(context: OperatorContext, name: str) -> None:
    """Delete a template that no account uses."""
    result = await delete_template(context.platform.table, context.operation, name)
    print_outcome(unwrap_result(result), context)
