// Health gates: conditions over what is observed of a service's replicas.
grammar Gate;

gate       : either EOF ;
either     : both (OR both)* ;
both       : negation (AND negation)* ;
negation   : NOT negation | held ;
held       : (comparison | OPEN either CLOSE) steady? recovery? nodata? ;
steady     : FOR DURATION ;
recovery   : RECOVERS FOR DURATION ;
nodata     : WITHOUT DATA FOR DURATION ;
comparison : quantity COMPARE literal ;
quantity   : NAME (OPEN argument (COMMA argument)* CLOSE)? (DOT NAME)? ;
argument   : DURATION | STRING ;
literal    : PERCENT | DURATION | NUMBER ;

AND      : 'and' ;
OR       : 'or' ;
NOT      : 'not' ;
FOR      : 'for' ;
RECOVERS : 'recovers' ;
WITHOUT  : 'without' ;
DATA     : 'data' ;
COMPARE  : '<=' | '>=' | '<' | '>' | '==' | '!=' ;
PERCENT  : DIGITS '%' ;
DURATION : DIGITS ('ms' | 's' | 'm' | 'h') ;
NUMBER   : DIGITS ;
NAME     : [a-z] [a-z0-9_]* ;
STRING   : '"' ~["\r\n]* '"' ;
OPEN     : '(' ;
CLOSE    : ')' ;
COMMA    : ',' ;
DOT      : '.' ;
SPACE    : [ \t\r\n]+ -> skip ;
OTHER    : . ;

fragment DIGITS : [0-9]+ ('.' [0-9]+)? ;
