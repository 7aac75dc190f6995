"""The classes of ridge.thrift, compiled once instead of at every start.

thriftpy2 parses an IDL file at run time and builds the tables of its grammar
for that, which takes a fifth of the processor time of a start. ``python -m
sassafrasridge_node.idl`` writes the resulting classes as a Python module,
which the deployment does when it is built. Without that module, or after a
change of ridge.thrift, the file is parsed.
"""

import hashlib
import importlib
import pathlib
import types
import typing

_FOLDER = pathlib.Path(__file__).parent
_SOURCE = _FOLDER / 'ridge.thrift'
COMPILED_NAME = 'ridge_compiled'
_HEADER = """# Generated from ridge.thrift; see sassafrasridge_node.idl.
from thriftpy2.thrift import TPayload

SOURCE_DIGEST = {digest!r}
"""


def load() -> typing.Any:
    """Return the compiled classes, or parse the IDL if they are outdated."""
    try:
        compiled = importlib.import_module(
            f'sassafrasridge_node.{COMPILED_NAME}'
        )
    except ModuleNotFoundError:
        return parse()
    if compiled.SOURCE_DIGEST != _source_digest():
        return parse()
    return compiled


def parse() -> types.ModuleType:
    """Return the classes that thriftpy2 creates from the IDL."""
    import thriftpy2

    return thriftpy2.load(str(_SOURCE), module_name='ridge_thrift')


def compile_module() -> str:
    """Return the source of a module with the classes of the IDL.

    Raises TypeError for a construct that ridge.thrift has not used so far.
    """
    text = _HEADER.format(digest=_source_digest())
    for name, found in vars(parse()).items():
        if not isinstance(found, type):
            if not name.startswith('__'):
                raise TypeError(f'cannot compile {name} of ridge.thrift')
        elif hasattr(found, 'thrift_services'):
            text += _service(name, found)
        else:
            text += '\n\n' + _struct(name, found)
    return text


def _struct(name: str, struct: typing.Any, indent: str = '') -> str:
    fields = ''.join(
        f'{indent}        {number}: {_show(spec)},\n'
        for number, spec in struct.thrift_spec.items()
    )
    return (
        f'{indent}class {name}(TPayload):\n'
        f'{indent}    _ttype = {struct._ttype!r}\n'
        f'{indent}    thrift_spec = {{\n{fields}{indent}    }}\n'
        f'{_init(struct.default_spec, indent + "    ")}'
        f'{indent}{name}.default_spec = {struct.default_spec!r}\n'
    )


def _init(default_spec: list[tuple[str, typing.Any]], indent: str) -> str:
    """Return the constructor that thriftpy2 would compile at run time."""
    if any(default is not None for _, default in default_spec):
        raise TypeError('cannot compile a default value of ridge.thrift')
    names = [name for name, _ in default_spec]
    parameters = ''.join(f', {name}=None' for name in names)
    body = ''.join(f'{indent}    self.{name} = {name}\n' for name in names)
    head = f'{indent}def __init__(self{parameters}):\n'
    return head + (body or f'{indent}    pass\n')


def _service(name: str, service: typing.Any) -> str:
    text = f'\n\nclass {name}:\n'
    text += f'    thrift_services = {service.thrift_services!r}\n'
    for method in service.thrift_services:
        result = getattr(service, method + '_result')
        text += '\n'
        text += _struct(
            method + '_args', getattr(service, method + '_args'), '    '
        )
        text += '\n' + _struct(method + '_result', result, '    ')
        text += f'    {method}_result.oneway = {result.oneway!r}\n'
    return text


def _show(spec: typing.Any) -> str:
    """Return a field's type as source, with classes by their names."""
    if isinstance(spec, type):
        return spec.__name__
    if isinstance(spec, tuple):
        return '(' + ''.join(_show(part) + ', ' for part in spec) + ')'
    return repr(spec)


def _source_digest() -> str:
    return hashlib.blake2b(_SOURCE.read_bytes()).hexdigest()


def main() -> None:
    """Write the compiled module beside the IDL."""
    path = _FOLDER / (COMPILED_NAME + '.py')
    path.write_text(compile_module(), encoding='utf-8')


if __name__ == '__main__':
    main()
