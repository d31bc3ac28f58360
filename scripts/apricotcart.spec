# PyInstaller specification. Builds a folder, which scripts/build packs into a
# single file.
import os
from pathlib import Path

from PyInstaller.utils.hooks import collect_submodules

SOURCE = Path(SPECPATH).parent / 'src'

analysis = Analysis(
    [str(SOURCE / 'apricotcart' / '__main__.py')],
    pathex=[str(SOURCE)],
    # Servers are imported by name, which PyInstaller does not detect.
    hiddenimports=collect_submodules('apricotcart'),
    # Optional dependencies of libraries that this program does not use.
    excludes=['psutil', 'tkinter', 'setuptools', 'pip'],
    optimize=0,
)
pyz = PYZ(analysis.pure)
exe = EXE(
    pyz,
    analysis.scripts,
    exclude_binaries=True,
    name='apricotcart',
    console=True,
    strip=True,
    upx=False,
)
COLLECT(exe, analysis.binaries, analysis.datas, name='apricotcart', strip=True, upx=False)
