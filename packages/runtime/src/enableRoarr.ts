// `roarr` reads this variable when it is loaded and writes nothing unless the variable is set, so this module has to
// be imported first.
process.env.ROARR_LOG = 'true';
