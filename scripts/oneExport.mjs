// ESLint rule: a module exports one thing. `index.ts` modules re-export and are exempt by configuration.
export const oneExport = {
  meta: { type: 'suggestion', messages: { many: 'A module exports one thing.' }, schema: [] },
  create(context) {
    return {
      Program(node) {
        const exported = node.body.filter(
          (statement) =>
            statement.type === 'ExportNamedDeclaration' ||
            statement.type === 'ExportDefaultDeclaration' ||
            statement.type === 'ExportAllDeclaration',
        );
        for (const extra of exported.slice(1)) context.report({ node: extra, messageId: 'many' });
      },
    };
  },
};
