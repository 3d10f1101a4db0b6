"""Steps for the pages."""

import shutil

from behave import given, then, when

from tools import docs


@given("a copy of the documents")
def copy(context):
    for name in ("docs", "mustardgap"):
        shutil.copytree(docs.ROOT / name, context.folder / name)


@when("the documents get the flaw: {flaw}")
def flaw(context, flaw):
    if flaw == "the metrics are used nowhere":
        shutil.rmtree(context.folder / "mustardgap")
        return
    page = context.folder / flaw.split()[0]
    text = page.read_text(encoding="utf-8")
    if flaw.endswith("is missing"):
        page.unlink()
        return
    if "lacks its last line" in flaw:
        text = text.rstrip().rpartition("\n")[0]
    elif " names " in flaw:
        text += f"\nSee {flaw.partition(' names ')[2]}.\n"
    else:
        changed = text.replace("`8080`", "`8081`")
        assert changed != text
        text = changed
    page.write_text(text, encoding="utf-8")


@then("the documents have no problems")
def check_none(context):
    found = list(docs.problems())
    assert not found, "\n".join(found)


@then("the documents have a problem that says {detail}")
def check_found(context, detail):
    found = list(docs.problems(context.folder))
    assert any(detail in problem for problem in found), found
