/** Replaces the text between `<!-- table NAME -->` and `<!-- end NAME -->` in a page, for each table that it has. */
export function fillPage(page: string, tables: ReadonlyMap<string, string>): string {
    return [...tables.entries()].reduce((filled, [name, text]) => {
        const [begin, end] = [`<!-- table ${name} -->`, `<!-- end ${name} -->`];
        const [start, stop] = [filled.indexOf(begin), filled.indexOf(end)];
        return start < 0 || stop < start
            ? filled
            : `${filled.slice(0, start + begin.length)}\n\n${text}\n\n${filled.slice(stop)}`;
    }, page);
}
